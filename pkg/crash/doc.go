// Package crash finds requests that crash backend servers and holds them back.
package crash
