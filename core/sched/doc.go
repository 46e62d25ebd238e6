// Package sched decides which task of which job runs on which worker, and plans the moves and the maintenance of the
// machines. It is a state machine without I/O: its caller passes in what happened (calls of clients, worker and machine
// lists, results of orders), stores the records that the Scheduler returns, and sends its orders.
//
// Only one scheduler at a time, the owner, may send orders. Each owner has a higher fencing token than those before it, and
// workers and machines refuse orders that carry a lower token than they have already received.
//
// A Scheduler is used by one goroutine and reads no clock. The caller uses it in this order:
//
//	sc := sched.New(options)
//	sc.Replay(record)               // each record on the journal, oldest first
//	sc.TakeOwnership(now, renewal)  // from now on orders may be sent under the owner's fencing token
//	sc.Configure(now, cfg)          // each new configuration
//	sc.UpdateWorkers(now, entries)  // each new list of workers
//	sc.Submit, sc.Cancel            // requests of clients
//	sc.ApplyResult(now, result)     // each answer of a worker, the machine interface or the policy service
//	sc.Decide(now)                  // starts, stops and polls that are due
//	sc.TakeImmediateOrders()        // orders to send at once
//	batch := sc.TakeBatch()         // records to append, and orders to send once they are stored
//	sc.ConfirmStored(batch)         // the records are stored
package sched
