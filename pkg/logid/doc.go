// Package logid shortens the ids of requests for the log.
package logid
