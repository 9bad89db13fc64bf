// Package headlimit counts the bytes and lines of request heads, and estimates the memory that the parsed head takes.
package headlimit
