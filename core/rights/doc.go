// Package rights is the ledger of integer rights to running work that one gate incarnation holds for its data centre's teams.
package rights
