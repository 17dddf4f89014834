"""TLS contexts from the files that the settings name."""

import ssl


def server_context(cert: str, key: str) -> ssl.SSLContext | None:
    """Builds the context of a listener for callers or operators.

    Args:
      cert: Path of the certificate chain (PEM); '' for no TLS.
      key: Path of its key (PEM).
    Returns: The context, or None without a certificate.
    """
    if not cert:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(cert, key)
    return context


def client_context(ca: str) -> ssl.SSLContext | None:
    """Builds the context of a client that proves its server.

    Args:
      ca: Path of the authority's certificate (PEM); '' for no TLS.
    Returns: The context, or None without an authority.
    """
    if not ca:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_verify_locations(ca)
    return context


def mutual_contexts(
    cert: str, key: str, ca: str
) -> tuple[ssl.SSLContext, ssl.SSLContext] | None:
    """Builds the contexts between processes of the system, for HTTP/2.

    Both ends prove a certificate of the same authority. Addresses are not
    compared with certificates, since hosts are replaced at any time.

    Args:
      cert: Path of the certificate chain (PEM); '' for no TLS.
      key: Path of its key (PEM).
      ca: Path of the authority's certificate (PEM).
    Returns: (server's, client's) context, or None without a certificate.
    """
    if not cert:
        return None
    contexts = []
    for purpose in (ssl.PROTOCOL_TLS_SERVER, ssl.PROTOCOL_TLS_CLIENT):
        context = ssl.SSLContext(purpose)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        context.check_hostname = False
        context.verify_mode = ssl.CERT_REQUIRED
        context.load_cert_chain(cert, key)
        context.load_verify_locations(ca)
        context.set_alpn_protocols(['h2'])
        contexts.append(context)
    return contexts[0], contexts[1]
