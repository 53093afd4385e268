package lemondeal.claims;

import java.nio.file.Path;

/**
 * How a proxy speaks TLS to the fleet's store of claims. The files are read at the start and again on SIGHUP, so that
 * certificates can be renewed without a restart.
 *
 * @param authority PEM file of the authorities that the store's certificate is checked against
 * @param certificate PEM file of this proxy's certificate chain, or null where the store asks for none
 * @param key PEM file of its private key in PKCS#8, null where {@code certificate} is
 * @param name the name that the store's certificate must bear, or null where it bears the first address
 */
public record StoreTls(Path authority, Path certificate, Path key, String name) {}
