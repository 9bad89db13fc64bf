// Package meter keeps teams within their rates and bursts.
package meter
