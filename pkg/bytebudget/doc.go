// Package bytebudget limits the memory that buffers of many requests occupy together.
package bytebudget
