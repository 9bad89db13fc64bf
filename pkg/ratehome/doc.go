// Package ratehome decides which shares of the teams' rates this VM holds and hands out their tokens.
package ratehome
