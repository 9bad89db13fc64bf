// Package lifetime knows how old a process is and whether it is stopping, for the log lines of its requests.
package lifetime
