// Package docs writes the pages that are generated from the code.
package docs
