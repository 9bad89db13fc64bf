// Package rateshare leases the tokens of team rates to entry VMs. The rate of a team is split into equal shares, each
// owned by one VM. Rendezvous hashing over the roster chooses the owners.
package rateshare
