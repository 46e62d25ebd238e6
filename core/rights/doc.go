// Package rights enforces each team's limit on running work within a data centre without a central counter. A limit is
// divided into rights, one for each piece of running work. Every gate incarnation keeps its rights in a Ledger, transfers
// unused ones to other gates, and takes part in recounts, which restore rights that were lost with a gate or a message.
package rights
