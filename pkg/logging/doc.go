// Package logging makes the logger of a process: one line of key=value pairs for each event.
package logging
