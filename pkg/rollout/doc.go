// Package rollout decides about one staged rollout: which attempts may go to servers of the new version, and whether that version
// is good. The caller passes in the time, and the package does no I/O.
package rollout
