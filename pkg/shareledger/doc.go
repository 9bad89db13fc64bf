// Package shareledger tracks on the leader which VMs hold which shares of the teams' rates, and which of them the leader may spend.
package shareledger
