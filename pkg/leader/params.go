package leader

import (
	"time"

	"github.com/azuretiller/azuretiller/pkg/desk"
)

// Params are the tolerances of the deployment.
type Params struct {
	Desk desk.Params
	// RateOver and RateSlack are what a team may exceed its rate by in a window of RateWindow.
	RateOver   float64
	RateSlack  float64
	RateWindow time.Duration
}

const (
	// silence is the time without a heartbeat after which a VM is taken for down; four heartbeats are lost then.
	silence = 1300 * time.Millisecond
	// viewGap bounds how often the view is sent to all VMs, and viewRepeat how soon to one that did not confirm it.
	viewGap    = 150 * time.Millisecond
	viewRepeat = 400 * time.Millisecond
	// answerMemory is how long decisions are kept for questions that come twice.
	answerMemory = 3 * time.Second
	// startShare is the share of the tolerance for a team's rate that a new leader begins with, since the one before may
	// have spent the burst within the same window.
	startShare = 0.5
	// successStep rounds the chances in the view, so that small changes do not make a new one.
	successStep = 10
)
