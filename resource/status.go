package resource

// VMStatus is what the daemons know of a VM's maintenance. Its name is the VM's. It is apart from the VM resource, so that
// an operator who applies a file again does not erase it.
type VMStatus struct {
	// LastWave is the last maintenance wave that the VM has passed, LastFailed whether it failed in it.
	LastWave   string `json:"lastWave"`
	LastFailed bool   `json:"lastFailed,omitempty"`
}

// SetDefaults implements Spec.
func (s *VMStatus) SetDefaults() {}

// Validate implements Spec.
func (s *VMStatus) Validate() error {
	if !ValidName(s.LastWave) {
		return fieldErrorf("lastWave", "%q is not a wave name", s.LastWave)
	}
	return nil
}

// WaveStatus is what the daemons know of a maintenance wave. Its name is the wave's. It is apart from the wave, so that an
// operator who applies a file again does not resume a wave that stopped by itself.
type WaveStatus struct {
	// StopReason says why the wave stopped by itself. It is empty while the wave may go on.
	StopReason string `json:"stopReason,omitempty"`
	// ResumedAt is the version of this resource that an operator saw when resuming the wave. Failures recorded before it
	// no longer count.
	ResumedAt uint64 `json:"resumedAt,omitempty"`
}

// SetDefaults implements Spec.
func (s *WaveStatus) SetDefaults() {}

// Validate implements Spec.
func (s *WaveStatus) Validate() error {
	if len(s.StopReason) > maxDescription {
		return fieldErrorf("stopReason", "at most %d bytes are permitted", maxDescription)
	}
	return nil
}
