// Package scheduler schedules the requests of one service: it assigns each request to a backend server, queues it or rejects
// it. The caller passes in the time, and the package does no I/O.
package scheduler
