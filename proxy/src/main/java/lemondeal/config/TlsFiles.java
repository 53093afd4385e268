package lemondeal.config;

import java.nio.file.Path;

/**
 * The files with which a proxy speaks TLS to a service of the operator's, such as the store of claims or Consul. They
 * are read at the start and again on SIGHUP, so that certificates can be renewed without a restart.
 *
 * @param authority PEM file of the authorities that the service's certificate is checked against
 * @param certificate PEM file of this proxy's certificate chain, or null where the service asks for none
 * @param key PEM file of its private key in PKCS#8, null where {@code certificate} is
 * @param name the name that the service's certificate must bear, or null where it bears the first address
 */
public record TlsFiles(Path authority, Path certificate, Path key, String name) {}
