// Package isolator finds requests that crash the replicas that run them.
package isolator
