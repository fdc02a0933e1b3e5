//go:build review

// Command standin plays the cases of the review that can't be put as a day of the bench. It holds the platform's store, the
// servers, the operator and the clients as the users' pages describe them, and starts the gateways as separate processes with
// the command of the deploy file. It has a build tag, so that the project's own build, checks and tests leave it out.
package main
