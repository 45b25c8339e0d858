package relay

// The values of Conn.admission. Once the peer has requested the body, the request may run.
const (
	admissionPending uint32 = iota
	admissionGranted
	admissionStopped
)

// stopAdmission ends the exchange unless the request is admitted.
func (c *Conn) stopAdmission() {
	if c.admission.CompareAndSwap(admissionPending, admissionStopped) {
		_ = c.conn.Close()
	}
}

func (c *Conn) isAdmitted() bool {
	return c.admission.Load() == admissionGranted
}
