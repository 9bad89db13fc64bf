// Package headers removes from requests and answers what must not be passed on.
package headers
