// Package upstream sends one attempt of a request to one backend server and classifies the response.
package upstream
