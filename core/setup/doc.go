// Package setup holds the configuration that is in force for jobs: queues with their routes, pools, teams with their keys,
// and limits on requests.
package setup
