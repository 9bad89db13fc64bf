// Package record defines the records that VMs append to the platform's log and their encoding.
package record
