// Package forecaster explains where a request would go now, and why, without sending it: what is asked and answered between an
// operator, a control instance and the entry instance that explains, and the answer as text.
package forecaster
