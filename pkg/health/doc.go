// Package health estimates the probability that a backend server answers a request successfully. It is a Bayesian model of
// gray failure: a gray server accepts requests but fails a large share of them. All servers of a service share one model,
// which learns from the results of the whole fleet.
package health
