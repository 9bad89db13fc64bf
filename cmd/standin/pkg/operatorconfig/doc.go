// Package operatorconfig builds configurations in the format that the platform's operators write.
package operatorconfig
