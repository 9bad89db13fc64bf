// Package opconfig writes configurations as the platform's operators do.
package opconfig
