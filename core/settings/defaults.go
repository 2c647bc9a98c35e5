package settings

// Or returns value, or fallback where value is zero. It applies defaults.
func Or[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}
