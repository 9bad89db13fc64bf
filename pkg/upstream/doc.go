// Package upstream sends one attempt of a request to one backend server and judges the answer.
package upstream
