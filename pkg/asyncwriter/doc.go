// Package asyncwriter writes log lines without ever blocking those who log.
package asyncwriter
