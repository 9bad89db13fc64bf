// Package purse holds the tokens that an entry VM drew for one team and has not spent yet.
package purse
