// Package invalidentries decides which invalid entries of the server registry are reported, so that the log names each of them without
// repeating it at every read.
package invalidentries
