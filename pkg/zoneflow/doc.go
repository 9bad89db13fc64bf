// Package zoneflow decides whether a request stays in its availability zone, waits there for a slot, or goes to another zone.
package zoneflow
