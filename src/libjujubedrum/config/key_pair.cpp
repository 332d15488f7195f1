#include "config/key_pair.hpp"

#include "base/hex.hpp"

#include <array>
#include <memory>

#include <openssl/evp.h>

namespace jujubedrum
{

namespace
{

constexpr std::size_t key_bytes = 32;
constexpr std::size_t signature_bytes = 64;

using key_ptr = std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)>;
using context_ptr = std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)>;

const unsigned char* as_bytes(std::string_view text)
{
    return reinterpret_cast<const unsigned char*>(text.data());
}

key_ptr import_private_key(std::string_view bytes)
{
    return {EVP_PKEY_new_raw_private_key(EVP_PKEY_ED25519, nullptr,
                                         as_bytes(bytes), bytes.size()),
            EVP_PKEY_free};
}

key_ptr import_public_key(std::string_view bytes)
{
    return {EVP_PKEY_new_raw_public_key(EVP_PKEY_ED25519, nullptr,
                                        as_bytes(bytes), bytes.size()),
            EVP_PKEY_free};
}

std::string_view trim(std::string_view text)
{
    constexpr std::string_view space = " \t\r\n";
    const std::size_t first = text.find_first_not_of(space);
    if (first == std::string_view::npos)
    {
        return {};
    }
    return text.substr(first, text.find_last_not_of(space) - first + 1);
}

std::string export_private_key(const EVP_PKEY* key)
{
    std::array<unsigned char, key_bytes> bytes{};
    std::size_t size = bytes.size();
    if (EVP_PKEY_get_raw_private_key(key, bytes.data(), &size) != 1)
    {
        return {};
    }
    return to_hex(bytes.data(), size);
}

std::string export_public_key(const EVP_PKEY* key)
{
    std::array<unsigned char, key_bytes> bytes{};
    std::size_t size = bytes.size();
    if (EVP_PKEY_get_raw_public_key(key, bytes.data(), &size) != 1)
    {
        return {};
    }
    return to_hex(bytes.data(), size);
}

} // namespace

std::optional<key_pair> key_pair::generate(config_reason& why)
{
    const key_ptr key(EVP_PKEY_Q_keygen(nullptr, nullptr, "ED25519"),
                      EVP_PKEY_free);
    if (!key)
    {
        why = {config_error::bad_key, "",
               "OpenSSL failed to generate an Ed25519 key"};
        return std::nullopt;
    }
    return key_pair(export_public_key(key.get()),
                    export_private_key(key.get()));
}

std::optional<key_pair> key_pair::from_private_key(std::string_view hex,
                                                   config_reason& why)
{
    const std::string_view digits = trim(hex);
    const auto bytes = from_hex(digits);
    if (!bytes || bytes->size() != key_bytes)
    {
        why = {config_error::bad_key, "",
               "a private key is 64 lower-case hex digits"};
        return std::nullopt;
    }
    const key_ptr key = import_private_key(*bytes);
    if (!key)
    {
        why = {config_error::bad_key, "", "OpenSSL rejected the private key"};
        return std::nullopt;
    }
    return key_pair(export_public_key(key.get()), std::string(digits));
}

std::string key_pair::sign(std::string_view text) const
{
    const auto bytes = from_hex(this->private_key_value);
    const key_ptr key = import_private_key(bytes.value_or(""));
    const context_ptr context(EVP_MD_CTX_new(), EVP_MD_CTX_free);
    std::array<unsigned char, signature_bytes> signature{};
    std::size_t size = signature.size();
    if (!key || !context ||
        EVP_DigestSignInit(context.get(), nullptr, nullptr, nullptr,
                           key.get()) != 1 ||
        EVP_DigestSign(context.get(), signature.data(), &size, as_bytes(text),
                       text.size()) != 1)
    {
        return {};
    }
    return to_hex(signature.data(), size);
}

bool key_pair::verify(std::string_view public_key_hex, std::string_view text,
                      std::string_view signature_hex)
{
    const auto key_text = from_hex(public_key_hex);
    const auto signature = from_hex(signature_hex);
    if (!key_text || key_text->size() != key_bytes || !signature ||
        signature->size() != signature_bytes)
    {
        return false;
    }
    const key_ptr key = import_public_key(*key_text);
    const context_ptr context(EVP_MD_CTX_new(), EVP_MD_CTX_free);
    return key && context &&
           EVP_DigestVerifyInit(context.get(), nullptr, nullptr, nullptr,
                                key.get()) == 1 &&
           EVP_DigestVerify(context.get(), as_bytes(*signature),
                            signature->size(), as_bytes(text),
                            text.size()) == 1;
}

} // namespace jujubedrum
