package settings

// Or returns value, or fallback if value is the zero value. Provision methods use it to
// apply defaults.
func Or[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}
