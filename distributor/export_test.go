package distributor

// Disable single mechanisms, for tests that check the effect of each.

func (d *Distributor) DisablePush()           { d.disablePush = true }
func (d *Distributor) DisablePatchIDs()       { d.disablePatchIDs = true }
func (d *Distributor) DisableBootstrapPeers() { d.disableBootstrapPeers = true }
func (d *Distributor) DisableRepair()         { d.disableRepair = true }
