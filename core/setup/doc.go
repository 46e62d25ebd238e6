// Package setup holds the configuration in force for jobs: routes to queues, pools, teams with their keys, and limits.
package setup
