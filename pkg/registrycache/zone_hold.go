package registrycache

import "time"

const (
	// zoneOutHold and zoneInHold are how long a zone stays out of service or in service after a restore although the copy says otherwise,
	// unless the operator's record of the zone is written again before. A zone that is kept out for too long costs capacity; one that is
	// kept in may be one that was taken out since the restore.
	zoneOutHold = 5 * time.Second
	zoneInHold  = reregistrationTime
)

// zoneHold is the state of a zone before a restore, which counts until the hold ends.
type zoneHold struct {
	out   bool
	until time.Time
}

func holdTime(out bool) time.Duration {
	if out {
		return zoneOutHold
	}
	return zoneInHold
}
