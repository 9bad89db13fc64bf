// Package asyncwriter writes log lines in the background, so that a slow output never blocks the code that logs.
package asyncwriter
