// Package fairqueue orders waiting work so that each flow gets its share of slot time.
package fairqueue
