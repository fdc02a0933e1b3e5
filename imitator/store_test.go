package imitator_test

import (
	"testing"

	"apricotspool/imitator"
	"apricotspool/storer/storertest"
)

// Guards against a fake that violates the contract of the object API.
func TestStoreContract(t *testing.T) {
	storertest.Run(t, &imitator.Store{})
}
