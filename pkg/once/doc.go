// Package once remembers the request ids of requests that may run only once, and their answers.
package once
