// Package apikey decides whether the API key of a call is usable and which customer it belongs to. It does no input or
// output; the age of the knowledge on which a decision is based is an argument.
package apikey
