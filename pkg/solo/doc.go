// Package solo decides for one VM while it is out of touch with the leader: it stays within a share of what the fleet may do.
package solo
