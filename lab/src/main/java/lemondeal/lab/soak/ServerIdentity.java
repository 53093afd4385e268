package lemondeal.lab.soak;

/** A server's identity in discovery: the same id, zone and cell for every proxy. */
record ServerIdentity(String id, String zone, int cell) {}
