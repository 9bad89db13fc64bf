// Package crash holds back requests that crashed several backend servers.
package crash
