package resource

// VMStatus is the maintenance status of a VM, written by the daemons. It has the name of the VM. It is separate from the VM
// resource, so that it is not lost when an operator applies a file with the VM again.
type VMStatus struct {
	// LastWave is the last maintenance wave that finished with the VM. LastFailed tells whether the VM failed in that wave.
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

// WaveStatus is the status of a maintenance wave, written by the daemons. It has the name of the wave. It is separate from
// the wave resource, so that an operator who applies a file again does not resume a wave that was stopped automatically.
type WaveStatus struct {
	// StopReason is the reason for which the wave was stopped automatically. It is empty while the wave may continue.
	StopReason string `json:"stopReason,omitempty"`
	// ResumedAt is the version of this resource on which an operator resumed the wave. Failures recorded up to this version
	// are not counted.
	ResumedAt uint64 `json:"resumedAt,omitempty"`
}

// SetDefaults implements Spec.
func (s *WaveStatus) SetDefaults() {}

// Validate implements Spec.
func (s *WaveStatus) Validate() error {
	if len(s.StopReason) > maxTextBytes {
		return fieldErrorf("stopReason", "at most %d bytes are permitted", maxTextBytes)
	}
	return nil
}
