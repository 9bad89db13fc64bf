// Package logging creates the logger of a process, which writes each event as a line of key=value pairs.
package logging
