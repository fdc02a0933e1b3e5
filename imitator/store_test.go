package imitator_test

import (
	"net/http/httptest"
	"net/netip"
	"testing"

	"apricotspool/imitator"
	"apricotspool/storer"
	"apricotspool/storer/storertest"
)

// Guards against a fake that differs from the object API's contract.
func TestStoreContract(t *testing.T) {
	storertest.Run(t, &imitator.Store{})
}

// Guards against a client that changes keys, versions or error classes on the way.
func TestStoreContractOverHTTP(t *testing.T) {
	far := httptest.NewServer(&imitator.StoreHandler{Store: &imitator.Store{}, Token: "secret"})
	defer far.Close()
	address := netip.MustParseAddrPort(far.Listener.Addr().String())
	storertest.Run(t, &storer.Client{Address: address, Token: "secret"})
}
