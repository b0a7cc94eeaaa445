/**
 * Replaces `@dabh/diagnostics` in the bundle of the platform program. winston writes its own debug
 * output with it, which nothing here turns on, and its tables of colors take a tenth of a start.
 */
const createDiagnostics = () => () => false;

module.exports = createDiagnostics;
