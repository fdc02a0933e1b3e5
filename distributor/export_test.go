package distributor

// Mechanisms that tests turn off to show what they do.

func (d *Distributor) WithoutPush()     { d.withoutPush = true }
func (d *Distributor) WithoutPatchIDs() { d.withoutPatchIDs = true }
func (d *Distributor) WithoutPeers()    { d.withoutPeers = true }
func (d *Distributor) WithoutRepair()   { d.withoutRepair = true }
