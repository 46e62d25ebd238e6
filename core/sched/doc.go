// Package sched decides which task of which job runs where. It is a state machine without I/O: its owner reports what
// happened (reports), takes what must be stored (records) and what must be done (orders), and confirms what was stored.
//
// One goroutine owns a Machine; it reads no clock. The calls, in the order in which the owner uses them:
//
//	m := sched.New(options)
//	m.Replay(record)             // each record on the journal, oldest first
//	m.Begin(now, token)          // from now on orders may be given under the fencing token
//	m.Configure(now, cfg)        // each new configuration
//	m.ListWorkers(now, entries)  // each change of the list of workers
//	m.Submit, m.Cancel           // calls of the intake
//	m.Apply(now, report)         // each answer of a worker, the machines' interface or the policy service
//	m.Decide(now)                // starts, stops, renewals that are due
//	batch := m.Take()            // records to append and orders to give, at once or once the records are stored
//	m.Stored(batch)              // the append was acknowledged
package sched
