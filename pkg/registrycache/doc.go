// Package registrycache caches the state of the platform's registry as a VM has read it: the backend servers and the availability
// zones that are out of service. It passes on the newest configuration.
package registrycache
