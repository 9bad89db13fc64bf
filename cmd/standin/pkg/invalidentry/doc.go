// Package invalidentry lists registry entries that name no usable backend server, as other writers may leave them in the store.
package invalidentry
