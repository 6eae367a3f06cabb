// Package shedding decides which requests to a model are sent, delayed or refused while its runners lack capacity.
//
// Load pattern: for some seconds more work arrives for a model than its runners can process, because a burst of less urgent
// requests coincides with the usual load, or because demand moves to the model faster than replicas of it are loaded. If every
// kind of request is refused in the same proportion, callers of urgent requests lose as often as those who could have waited, and
// one large request takes the place of many small ones. The package admits requests in the order of their rank and, within the
// rank for which capacity runs out, small ones more often than large ones. Requests whose objective allows it wait.
package shedding
