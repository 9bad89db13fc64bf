// Package fairqueue implements weighted fair queueing of requests. Each flow gets slot time in proportion to its weight.
package fairqueue
